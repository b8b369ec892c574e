# Shared by the scripts in this folder: finds or builds the programs' class paths.
# shellcheck shell=bash

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

# Small, equal bounds for every daemon: the serial collector needs one thread and little memory of
# its own; heap, metaspace, code cache, direct memory and stacks are bounded so that resident memory
# stays within 256 MB.
daemon_java_options=(
  -XX:+UseSerialGC -Xms24m -Xmx96m -XX:MaxMetaspaceSize=64m -XX:ReservedCodeCacheSize=32m
  -XX:MaxDirectMemorySize=24m -Xss512k -XX:TieredStopAtLevel=4 -Dio.netty.allocator.numDirectArenas=1
  -Dio.netty.allocator.numHeapArenas=1 -XX:+ExitOnOutOfMemoryError
)

# build_if_missing: builds the programs once; the tests are run by bin/test.
build_if_missing() {
  if [[ ! -f "$root/daemon/target/classpath" || ! -f "$root/cli/target/classpath" \
    || ! -f "$root/standins/target/classpath" || ! -f "$root/measure/target/classpath" ]]; then
    echo "building (first run)" >&2
    (cd "$root" && mvn -q -B -ntp -Dmaven.test.skip=true package) >&2
  fi
}

# class_path MODULE: prints the class path of a module's programs.
class_path() {
  printf '%s' "$root/$1/target/classes:$(cat "$root/$1/target/classpath")"
}
