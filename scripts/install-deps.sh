#!/bin/sh
# Installs the build dependencies on Debian; does nothing when all are there.
set -eu
packages="libh2o-dev libuv1-dev libtirpc-dev rpcsvc-proto libjson-c-dev
libargtable2-dev liblog4c-dev check libgsl-dev libxxhash-dev
libcurl4-openssl-dev libssl-dev meson ninja-build pkg-config scdoc gcc make
clang-format clang-tidy cppcheck curl git jq"
missing=
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null \
    | grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
