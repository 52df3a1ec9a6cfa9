#!/usr/bin/env bash
# Guards against a SIGHUP that ends the daemon with calls open.
# usage: sighup_test.sh CATKINTACKD
set -euo pipefail
work=$(mktemp -d)
daemon=
cleanup() {
  [ -z "$daemon" ] || kill -KILL "$daemon" 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT
fail() { echo "sighup_test: $1" >&2; cat "$work/log" >&2; exit 1; }
port=$((20000 + $$ % 9000))
cat >"$work/settings.ini" <<INI
[host]
id = gw-1
region = east
failure_domain = one
[listen]
callers = 127.0.0.1:$port
peers = 127.0.0.1:$((port + 1))
admin = 127.0.0.1:$((port + 2))
[platform]
store = 127.0.0.1:1
host_list = 127.0.0.1:2
[peers]
key = sighup-test-peer-key-0123456789
INI
"$1" "$work/settings.ini" >"$work/log" 2>&1 &
daemon=$!
answers() { curl -s -o "$work/answer" "http://127.0.0.1:$((port + 2))/readyz"; }
for _ in $(seq 200); do
  answers && break
  kill -0 "$daemon" 2>/dev/null || fail "the daemon did not start"
  sleep 0.05
done
kill -HUP "$daemon"
answers || fail "the daemon does not answer after SIGHUP"
kill -TERM "$daemon"
wait "$daemon" || fail "the daemon ended with $? after SIGTERM"
daemon=
grep -q "SIGHUP" "$work/log" || fail "SIGHUP is not logged"
