#!/bin/sh
case $0 in
  /*) self=$0 ;;
  *) self=$PWD/$0 ;;
esac
# The archive is valid only for this file at this path; the JVM ignores an archive that does not match.
[ ! -r "$self.jsa" ] || archive="-XX:SharedArchiveFile=$self.jsa"
exec java -Xshare:auto -Xlog:cds*=off $archive $SNIPEWICK_JAVA_OPTIONS -jar "$self" "$@"
exit 127
