#!/usr/bin/env bash
# Checks formatting and runs the linter on the given files, or on all files of this project.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then files=("$@"); else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '_generated\.h$')
fi
clang-format --dry-run --Werror "${files[@]}"
[ -f Build/release/compile_commands.json ] || cmake --preset release >/dev/null
printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; } \
    | xargs -r -P "${JOBS:-$(nproc)}" -n 1 clang-tidy -p Build/release --quiet 2>/tmp/jujube-lint.$$ \
    || { grep -v 'warnings generated' /tmp/jujube-lint.$$; rm -f /tmp/jujube-lint.$$; exit 1; }
rm -f /tmp/jujube-lint.$$
