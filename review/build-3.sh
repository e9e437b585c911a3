#!/usr/bin/env bash
# Check that the stand-ins of cases 11 to 15 can be loaded; they need Python 3.11 alone.
cd "$(dirname "$0")/standins-3" || exit 1
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import acknowledged, databases, fleet, platform_store'
