# Functions that start the stand-ins and daemons of one small deployment on fixed loopback ports; to be sourced.
# Expects build_dir and log_dir. Everything that was started is ended, by its process id, when the script exits.

declare -A pids=()
start() { # name, command...
    local name=$1
    shift
    "$@" 2>"$log_dir/$name.log" &
    pids[$name]=$!
    # The shell does not report the end of a process that is killed on purpose.
    disown "$!"
}
stop_all() {
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null || true
        kill "${pids[$name]}" 2>/dev/null || true
    done
    # The next run needs the ports, so this one waits until all processes have ended.
    for name in "${!pids[@]}"; do
        for _ in $(seq 100); do
            kill -0 "${pids[$name]}" 2>/dev/null || break
            sleep 0.05
        done
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
}
trap stop_all EXIT
# Waits until a command succeeds, at most 15 s.
wait_for() { # description, command...
    local what=$1
    shift
    for _ in $(seq 150); do
        if "$@" >/dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "timed out waiting for $what; logs are in $log_dir" >&2
    exit 1
}
post() { # port, path, body
    curl -sS --http2-prior-knowledge -H 'content-type: application/json' -d "$3" "http://127.0.0.1:$1$2"
}
field() { sed -n "s/.*\"$1\":\"\\{0,1\\}\\([^\",}]*\\).*/\\1/p"; }

# Waits until a process has ended, at most 15 s.
await_end() { # name
    for _ in $(seq 150); do
        if ! kill -0 "${pids[$1]}" 2>/dev/null; then
            unset "pids[$1]"
            return 0
        fi
        sleep 0.1
    done
    echo "$1 does not end; logs are in $log_dir" >&2
    exit 1
}

peers=wheeldb-1a=127.0.0.1:17101,wheeldb-1b=127.0.0.1:17102,wheeldb-1c=127.0.0.1:17103
all_peers=kyushu-a-1=kyushu-a@127.0.0.1:17202,kyushu-b-1=kyushu-b@127.0.0.1:17212,kyushu-c-1=kyushu-c@127.0.0.1:17222
instance() { # letter, port, role flags...
    local letter=$1 port=$2
    shift 2
    start "wheeldb-1$letter" "$build_dir/standin_database" --listen "127.0.0.1:$port" --group wheeldb-1 \
        --instance "wheeldb-1$letter" --peers "$peers" --connections 35 --slots 5 --lag-ms 30 "$@"
}
daemon() { # letter, base port, [command that runs the daemon...]
    start "kyushu-$1-1" "${@:3}" "$build_dir/gentianhilld" --name "kyushu-$1-1" --zone "kyushu-$1" \
        --listen "127.0.0.1:$(($2 + 1))" --peer-listen "127.0.0.1:$(($2 + 2))" \
        --operator-listen "127.0.0.1:$(($2 + 3))" --admin-listen "127.0.0.1:$(($2 + 4))" \
        --platform 127.0.0.1:17000 --peers "$all_peers" --token-key demo-key-of-16-bytes-or-more
}
# Starts the platform, three instances and three daemons, submits the ticket and waits until all are ready.
start_deployment() {
    start platform "$build_dir/standin_platform" --listen 127.0.0.1:17000
    instance a 17101 --primary-of-term-1
    instance b 17102 --initial-member --follow wheeldb-1a=127.0.0.1:17101
    instance c 17103 --initial-member --follow wheeldb-1a=127.0.0.1:17101
    daemon a 17200
    daemon b 17210
    daemon c 17220
    wait_for "the daemons" "$tool" state
    "$tool" ticket submit examples/demo.ticket.json
    for port in 17204 17214 17224; do
        wait_for "a ready daemon" curl -sSf "http://127.0.0.1:$port/readyz"
    done
    "$tool" ticket status 1 --wait 5
}
export GENTIANHILL_DAEMONS=127.0.0.1:17203,127.0.0.1:17213,127.0.0.1:17223
tool=$build_dir/gentianhill
now=$(date +%s)
create_table() {
    post 17201 /v1/statement '{"group":"wheeldb-1","team":"shops","deadline_ms":10000,
      "sql":"CREATE TABLE builds (id INTEGER PRIMARY KEY, spokes INTEGER, length_mm REAL)"}'
    echo
}
save() { # port, key, id
    post "$1" /v1/statement "{\"group\":\"wheeldb-1\",\"team\":\"shops\",\"key\":\"$2\",\"issued_at\":$now,
      \"deadline_ms\":10000,\"sql\":\"INSERT INTO builds VALUES (?, ?, ?)\",\"params\":[$3, 32, 291.5]}"
}
read_builds() { # port, token
    post "$1" /v1/statement "{\"group\":\"wheeldb-1\",\"team\":\"riders\",\"read_only\":true,\"token\":\"$2\",
      \"deadline_ms\":5000,\"sql\":\"SELECT id, spokes FROM builds ORDER BY id\"}"
}
