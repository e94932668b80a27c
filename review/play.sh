# Plays the case in the calling folder: play.sh PROGRAM. Sourced by each run.sh.
#
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. The program
# and all daemons that it starts are one process group, which is ended with it.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/release/$1
for file in "$program" target/release/railspand; do
    if [ ! -x "$file" ]; then
        echo "$file is missing: run cargo build --release and review/build.sh first" >&2
        exit 2
    fi
done
export TMPDIR
TMPDIR=$(mktemp -d) || exit 2
trap 'rm -rf "$TMPDIR"' EXIT
set -m
"$program" "$folder/record.txt" &
group=$!
(sleep 115; kill -KILL -- "-$group") 2> /dev/null &
guard=$!
disown "$guard"
wait "$group"
code=$?
kill -KILL -- "-$guard" 2> /dev/null
kill -KILL -- "-$group" 2> /dev/null
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
