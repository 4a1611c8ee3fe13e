#!/bin/sh
# Installs the packages that building and testing need, if any is missing.
set -eu
packages="gcc make pkg-config meson ninja-build libapr1-dev libmicrohttpd-dev libcurl4-openssl-dev
libglib2.0-dev libjansson-dev libyaml-dev liblua5.4-dev libgsl-dev libhttp-parser-dev libtirpc-dev libxxhash-dev
clang clang-format clang-tidy cppcheck spin openssl curl"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
        missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "Installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo="sudo"
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
