# Starts and stops the processes of a deployment on loopback addresses. Sourced by other scripts.
#
# Each host has an address of its own, 127.<address_base + zone number>.<service number>.<host number>. All use the same
# ports.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=${FULMARLEDGE_BIN:-$root/build/release}
caller_port=8080
admin_port=8081
backend_port=9000
platform_address=${platform_address:-127.0.0.1:7000}
address_base=${address_base:-10}
work_dir=$(mktemp -d)
declare -A node_pid backend_pid host_address host_zone host_service
platform_pid=
hosts=()

case "${deployment:-adebayo}" in
adebayo)
    zones=(ikeja apapa lekki yaba)
    services=(jobsheets bookings drawings)
    endpoint_counts=(5 4 4)
    paths=(/jobsheets /bookings /drawings)
    ;;
taoyuan)
    zones=(guishan luzhu bade zhongli)
    services=(intake-desk collection-desk audit-archive)
    endpoint_counts=(5 4 4)
    paths=(/intake /collection /archive)
    ;;
*)
    echo "unknown deployment \"$deployment\": adebayo or taoyuan" >&2
    exit 2
    ;;
esac

# Fills `hosts` with names of the form <zone>-<service>-<number>. The hosts of each service are spread over the zones in
# turn.
plan_hosts() {
    local s i z
    for s in "${!services[@]}"; do
        declare -A next=()
        for ((i = 0; i < endpoint_counts[s]; i++)); do
            z=$((i % ${#zones[@]}))
            next[$z]=$((${next[$z]:-0} + 1))
            local host="${zones[z]}-${services[s]}-${next[$z]}"
            hosts+=("$host")
            host_address[$host]="127.$((address_base + z)).$((s + 1)).${next[$z]}"
            host_zone[$host]=${zones[z]}
            host_service[$host]=${services[s]}
        done
    done
}

start_platform() {
    "$bin/fulmarledge-platform-standin" --address "${platform_address%:*}" --port "${platform_address#*:}" \
        >"$work_dir/platform.log" 2>&1 &
    platform_pid=$!
}

start_backend() {
    local host=$1
    "$bin/fulmarledge-backend-standin" --address "${host_address[$host]}" --port "$backend_port" \
        --node-address "${host_address[$host]}" --node-port "$admin_port" --service "${host_service[$host]}" --slots 12 \
        >"$work_dir/$host.backend.log" 2>&1 &
    backend_pid[$host]=$!
}

start_node() {
    local host=$1
    shift
    "$bin/fulmarledge-node" --config "$root/settings/$deployment/node.ini" --node.host "$host" --node.zone "${host_zone[$host]}" \
        --node.address "${host_address[$host]}" --platform.address "$platform_address" "$@" >"$work_dir/$host.node.log" 2>&1 &
    node_pid[$host]=$!
}

# wait_until SECONDS COMMAND waits until the command succeeds, and fails after that many seconds.
wait_until() {
    local seconds=$1 i
    shift
    for ((i = 0; i < seconds * 20; i++)); do
        if "$@" >/dev/null 2>&1; then
            return 0
        fi
        sleep 0.05
    done
    return 1
}

ctl() {
    "$bin/fulmarledgectl" --platform "$platform_address" --node "${host_address[${hosts[0]}]}:$admin_port" \
        --node "${host_address[${hosts[5]}]}:$admin_port" "$@"
}

# Kills by process id every process that is still running, and removes the work directory.
stop_everything() {
    local pid
    for pid in "${node_pid[@]}" "${backend_pid[@]}" $platform_pid; do
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work_dir"
}
