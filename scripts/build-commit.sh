#!/bin/sh
# Builds the edge node of a commit from the repository's own history, once.
# Usage: scripts/build-commit.sh COMMIT FOLDER; the program is FOLDER/wickbridge-edge.
set -eu
# A shallow clone lacks the commit until the rest of the history is fetched.
git cat-file -e "$1^{commit}" 2>/dev/null || git fetch -q --unshallow
commit=$(git rev-parse "$1^{commit}")
folder=$2
[ -f "$folder/$commit" ] && exit 0
rm -rf "$folder"
mkdir -p "$folder/source"
git archive "$commit" | tar -x -C "$folder/source"
meson setup "$folder/build" "$folder/source" --buildtype=release
ninja -C "$folder/build" wickbridge-edge
cp "$folder/build/wickbridge-edge" "$folder/wickbridge-edge"
rm -rf "$folder/source" "$folder/build"
touch "$folder/$commit"
