#!/bin/sh
# Starts eight daemons in four availability zones on loopback addresses, three of them with data folders, with
# a fake engine and a fake service of the Quito example. The folder of the first argument takes data and logs.
set -eu
folder=${1:?say where data and logs go}
bin=${FULMARFORD_BIN:-target/release}
mkdir -p "$folder"
: > "$folder/pids"
peers=i1=127.0.0.1:7081,i2=127.0.0.1:7082,i3=127.0.0.1:7083
for engine in 1 2 3 4 5 6 7 8 9; do
    "$bin/fulmarctl" fake "127.0.0.1:910$engine" &
    echo $! >> "$folder/pids"
done
for service in 1 2 3 4; do
    "$bin/fulmarctl" fake --service "127.0.0.1:915$service" &
    echo $! >> "$folder/pids"
done
for number in 1 2 3 4 5 6 7 8; do
    zone=$(echo a b c d a b c d | cut -d ' ' -f $number)
    voter=
    if [ $number -le 3 ]; then
        voter="--data $folder/data-$number --bootstrap --rules examples/quito.rules"
    fi
    # shellcheck disable=SC2086
    "$bin/fulmarford" --instance i$number --zone uio-$zone --listen 127.0.0.1:808$number \
        --peer-listen 127.0.0.1:708$number --peers $peers $voter \
        --key-secret-file examples/key-secret --peer-secret-file examples/peer-secret \
        --operator-token-file examples/operator-token \
        --log "$folder/decisions-$number.log" 2> "$folder/log-$number" &
    echo $! >> "$folder/pids"
done
