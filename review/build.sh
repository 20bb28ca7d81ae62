#!/usr/bin/env bash
# Checks that the stand-ins of all cases can be loaded after the build of the deploy
# file. They are Python and need no further build.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH=target/deps:. python3 -c "
import review.world, sesameplank.platform.command, sesameplank.standins.front_store"
