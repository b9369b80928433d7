#include <array>
#include <catch2/catch.hpp>
#include <cmath>

#include "fulmarledge/snapshot.h"

using namespace fulmarledge;

namespace {

constexpr std::string_view kRoutesManifest = R"({"format":1,
  "services":[{"name":"huvo11a"},{"name":"kafi81c"}],
  "routes":[
    {"host":"a.example","path_prefix":"/x/","kind":"safe","service":"huvo11a","timeout_ms":2000,"max_attempts":2},
    {"host":"a.example","path_prefix":"/x/y/","kind":"unsafe","service":"kafi81c","priority":1},
    {"host":"b.example","path_prefix":"/x/","kind":"download","target_latency_ms":600,
     "backends":[{"service":"huvo11a","weight":90},{"service":"kafi81c","weight":10}]}],
  "limits":{"max_body_bytes":1000}})";

Manifest parseManifest(std::string_view text)
{
    LastReason error;
    const auto manifest = Manifest::parse(text, error);
    INFO(error.text());
    REQUIRE(manifest);
    return *manifest;
}

std::string routeKeyFor(const RouteTable &table, std::string_view host, std::string_view path)
{
    const RouteHandle handle = table.find(host, path);
    return isValid(handle) ? table.route(handle).spec.key() : "none";
}

} // namespace

// Guards against a request that is sent to the service of a shorter prefix or of another host name.
TEST_CASE("routes are chosen by host name and longest prefix")
{
    const auto table = RouteTable::build(parseManifest(kRoutesManifest));
    CHECK(routeKeyFor(*table, "a.example", "/x/2f") == "a.example/x/");
    CHECK(routeKeyFor(*table, "A.Example:8080", "/x/y/2f") == "a.example/x/y/");
    CHECK(routeKeyFor(*table, "a.example", "/x/yz") == "a.example/x/");
    CHECK(routeKeyFor(*table, "a.example", "/x") == "none");
    CHECK(routeKeyFor(*table, "a.example", "/") == "none");
    CHECK(routeKeyFor(*table, "b.example", "/x/y/2f") == "b.example/x/");
    CHECK(routeKeyFor(*table, "c.example", "/x/2f") == "none");
}

// Guards against shares that drift from the weights. Over 200 requests a target's share may be off by at most 0.02.
TEST_CASE("the shares of weighted targets follow the weights over any 200 consecutive requests")
{
    const auto table = RouteTable::build(parseManifest(kRoutesManifest));
    const TableRoute &route = table->route(table->find("b.example", "/x/1"));
    for (int span = 0; span < 20; ++span) {
        std::array<int, 2> picks{};
        for (int i = 0; i < 200; ++i) {
            ++picks[route.pickTarget().idx];
        }
        CHECK(std::abs(picks[0] / 200.0 - 0.9) <= 0.02);
    }
}

// Guards against fields that the canonical text or a delta leaves out.
TEST_CASE("the canonical text and a delta preserve routes, kinds, weights and limits")
{
    const Manifest manifest = parseManifest(kRoutesManifest);
    CHECK(parseManifest(manifest.canonicalText()).canonicalText() == manifest.canonicalText());
    const Manifest before = parseManifest(R"({"format":1,"services":[{"name":"huvo11a"}],"routes":[]})");
    LastReason error;
    const auto applied = before.apply(before.deltaTo(manifest), error);
    REQUIRE(applied);
    CHECK(applied->canonicalText() == manifest.canonicalText());
    CHECK(applied->limits().maxBodyBytes == 1000);
    const auto back = applied->apply(manifest.deltaTo(before), error);
    REQUIRE(back);
    CHECK(back->canonicalText() == before.canonicalText());
}

// Guards against a service without a list of backend servers that gets hosts of another service.
TEST_CASE("a service without a list of backend servers is served by the hosts that announce it")
{
    std::vector<wire::HostRecord> hosts(3);
    hosts[0].host = "n1";
    hosts[0].serviceName = "huvo11a";
    hosts[1].host = "n2";
    hosts[1].serviceName = "kafi81c";
    hosts[2].host = "n3";
    const auto snapshot = Snapshot::build(1, parseManifest(kRoutesManifest), hosts);
    CHECK(snapshot->isConsistent());
    const auto backends = snapshot->backends(snapshot->findService("huvo11a"));
    REQUIRE(backends.size() == 1);
    CHECK(backends[0].host == "n1");
}
