#include <catch2/catch.hpp>

#include "fulmarledge/manifest.h"
#include "fulmarledge/snapshot.h"

using namespace fulmarledge;

namespace {

constexpr std::string_view kTwoServices = R"({"format":1,
  "services":[{"name":"bookings","backend_servers":["b-2","b-1"],"timeout_ms":2000},
              {"name":"drawings","backend_servers":["d-1"],"class":"bulk"}],
  "routes":[{"path_prefix":"/drawings","service":"drawings"},{"path_prefix":"/bookings","service":"bookings"}]})";

Manifest parseManifest(std::string_view text)
{
    LastReason error;
    auto manifest = Manifest::parse(text, error);
    INFO(error.text());
    REQUIRE(manifest);
    return *manifest;
}

std::string parseError(std::string_view text)
{
    LastReason error;
    REQUIRE_FALSE(Manifest::parse(text, error));
    return error.text();
}

} // namespace

// Guards against an invalid manifest being accepted, or refused with an error that does not name the field.
TEST_CASE("an invalid manifest is refused with an error that names the field and the reason")
{
    CHECK(parseError("{\"format\":1,").find("manifest: malformed JSON") == 0);
    CHECK(parseError("[]") == "manifest: must be a JSON object");
    CHECK(parseError(R"({"format":2,"services":[],"routes":[]})") == "format: must be 1");
    CHECK(parseError(R"({"format":1,"services":[],"routes":[],"extra":1})") == "extra: unknown key");
    CHECK(parseError(R"({"format":1,"format":1,"services":[],"routes":[]})")
          == "format: key is given twice in one object");
    CHECK(parseError(R"({"format":1,"services":[],"routes":[{"path_prefix":"/a","service":"depots"}]})")
          == "routes[0].service: no service \"depots\" in this manifest");
    CHECK(
        parseError(
            R"({"format":1,"services":[{"name":"a","backend_servers":["h"]},{"name":"a","backend_servers":["i"]}],"routes":[]})")
        == "services[1].name: duplicate service \"a\"");
    CHECK(parseError(R"({"format":1,"services":[{"name":"a","backend_servers":[]}],"routes":[]})")
          == "services[0].backend_servers: must be a list with at least one entry");
    CHECK(parseError(R"({"format":1,"services":[{"name":"a","backend_servers":["h"]}],"routes":[]})")
          == "services[a]: no route leads to this service");
    CHECK(parseError(std::string(1000001, ' ')) == "manifest: 1000001 bytes, more than 1000000");
}

// Guards against two texts of the same manifest getting different digests.
TEST_CASE("the canonical text does not depend on the order of entries and on whitespace")
{
    const Manifest manifest = parseManifest(kTwoServices);
    const std::string canonical = manifest.canonicalText();
    CHECK(parseManifest(canonical).canonicalText() == canonical);
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a delta that misses a new or changed entry or keeps a removed one.
TEST_CASE("a delta turns one manifest into another in both directions")
{
    const Manifest from = parseManifest(kTwoServices);
    const Manifest to = parseManifest(R"({"format":1,"services":[{"name":"bookings","backend_servers":["b-1"]}],
        "routes":[{"path_prefix":"/bookings","service":"bookings"},{"path_prefix":"/visits","service":"bookings"}]})");
    LastReason error;
    for (const auto &[first, second] : {std::pair(from, to), std::pair(to, from)}) {
        const auto result = first.apply(first.deltaTo(second), error);
        REQUIRE(result);
        CHECK(result->canonicalText() == second.canonicalText());
    }
    // A delta made for another base may remove a service but not its route. It must be refused.
    wire::ManifestDelta dangling;
    dangling.removedServices.emplace_back("drawings");
    CHECK_FALSE(from.apply(dangling, error));
    CHECK(error.text() == "routes[/drawings].service: no service \"drawings\" in this manifest");
}

// Guards against a route that leads to a service or backend server missing from the snapshot.
TEST_CASE("a snapshot routes by whole path segments and contains the services that it routes to")
{
    wire::HostRecord record;
    record.host = "b-1";
    record.serviceName = "bookings";
    const auto snapshot = Snapshot::build(7, parseManifest(kTwoServices), std::span(&record, 1));
    CHECK(snapshot->isConsistent());
    const ServiceHandle bookings = snapshot->firstTargetFor("/bookings/17");
    REQUIRE(isValid(bookings));
    CHECK(snapshot->service(bookings).spec.name == "bookings");
    CHECK_FALSE(isValid(snapshot->firstTargetFor("/bookingsx")));
    CHECK_FALSE(isValid(snapshot->firstTargetFor("/")));
    const auto backends = snapshot->backends(bookings);
    REQUIRE(backends.size() == 2);
    CHECK(backends[0].record.has_value());
    CHECK_FALSE(backends[1].record.has_value());
}
