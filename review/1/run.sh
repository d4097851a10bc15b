#!/bin/sh
# All core machines are replaced, one after the other. Exits with 1 if the rule was broken, 0 if it held.
# With TROUBLE=0 the disruption is left out; the stand-in reads the variable.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/fulmarford ] || exit 2
exec target/review/standin rolled review/1/record.txt
