package org.snipewick.catalogue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Validates edits against the catalogue that they apply to. */
final class EditValidator {
  private static final int MAX_EDITS = 1_000;
  private static final Pattern SHA256_PATTERN = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern KEY_PATTERN =
      Pattern.compile("(team|model|service|endpoint)/.{1,128}");

  private EditValidator() {}

  /** Returns descriptions of all faults of the edits; empty if the edits are valid. */
  static List<String> findFaults(Catalogue base, List<Edit> edits) {
    List<String> faults = new ArrayList<>();
    if (edits.isEmpty()) {
      faults.add("there must be at least one edit");
    }
    if (edits.size() > MAX_EDITS) {
      faults.add("there must be at most " + MAX_EDITS + " edits");
    }
    Set<String> keys = new HashSet<>();
    for (Edit edit : edits) {
      String key = edit instanceof Edit.Put put ? put.entry().key() : ((Edit.Remove) edit).key();
      if (!keys.add(key)) {
        faults.add(key + ": edited twice");
      }
      check(edit, key, faults);
    }
    checkTokens(base.withEdits(edits), keys, faults);
    return faults;
  }

  private static void check(Edit edit, String key, List<String> faults) {
    if (edit instanceof Edit.Remove && !KEY_PATTERN.matcher(key).matches()) {
      faults.add(key + ": not a key; a key is a kind, a slash and a name");
    }
    if (edit instanceof Edit.Put put
        && put.entry() instanceof Entry.Team team
        && !SHA256_PATTERN.matcher(team.tokenSha256()).matches()) {
      faults.add(key + ": tokenSha256 must be 64 lower-case hexadecimal digits");
    }
  }

  private static void checkTokens(Catalogue after, Set<String> edited, List<String> faults) {
    Map<String, String> teamsByToken = new HashMap<>();
    for (Entry.Team team : after.all(Entry.Team.class)) {
      String other = teamsByToken.putIfAbsent(team.tokenSha256(), team.key());
      if (other != null && (edited.contains(other) || edited.contains(team.key()))) {
        faults.add(team.key() + ": has the same token as " + other);
      }
    }
  }
}
