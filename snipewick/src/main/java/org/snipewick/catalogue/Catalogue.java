package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Immutable content of the catalogue at one version.
 *
 * @param version number of changes accepted so far; 0 is the empty catalogue
 * @param entries entries by {@link Entry#key}
 */
public record Catalogue(long version, Map<String, Entry> entries) {

  /**
   * Checks the version and copies the entries.
   *
   * @throws IllegalArgumentException if the version is negative
   */
  public Catalogue {
    if (version < 0) {
      throw new IllegalArgumentException("version must not be negative");
    }
    entries = Map.copyOf(entries);
  }

  /**
   * Returns the catalogue before the first change.
   *
   * @return catalogue without entries
   */
  public static Catalogue empty() {
    return new Catalogue(0, Map.of());
  }

  /**
   * Returns a catalogue of the given entries.
   *
   * @param version number of changes accepted so far
   * @param entries all entries
   * @return catalogue
   * @throws IllegalStateException if two entries have the same key
   */
  public static Catalogue ofAll(long version, Collection<? extends Entry> entries) {
    return new Catalogue(
        version, entries.stream().collect(Collectors.toMap(Entry::key, entry -> entry)));
  }

  /**
   * Returns the catalogue that results from edits, with the next version.
   *
   * @param edits edits, applied in order
   * @return catalogue of the next version
   */
  public Catalogue withEdits(List<Edit> edits) {
    requireNonNull(edits, "edits");
    Map<String, Entry> changed = new HashMap<>(entries);
    edits.forEach(edit -> edit.applyTo(changed));
    return new Catalogue(version + 1, changed);
  }

  /**
   * Returns the entry of a kind and name.
   *
   * @param kind class of the entry
   * @param name name of the entry
   * @param <T> type of the entry
   * @return entry, empty if there is none
   */
  public <T extends Entry> Optional<T> find(Class<T> kind, String name) {
    String key = kind.getSimpleName().toLowerCase(java.util.Locale.ROOT) + "/" + name;
    return Optional.ofNullable(entries.get(key)).map(kind::cast);
  }

  /**
   * Returns all entries of a kind.
   *
   * @param kind class of the entries
   * @param <T> type of the entries
   * @return entries, sorted by key
   */
  public <T extends Entry> List<T> all(Class<T> kind) {
    return entries.values().stream()
        .filter(kind::isInstance)
        .map(kind::cast)
        .sorted(java.util.Comparator.comparing(Entry::key))
        .toList();
  }
}
