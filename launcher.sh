#!/bin/sh
exec java $SNIPEWICK_JAVA_OPTIONS -jar "$0" "$@"
exit 127
