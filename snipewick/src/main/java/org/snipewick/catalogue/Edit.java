package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Map;

/** Edit of one catalogue entry. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "edit")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Edit.Put.class, name = "put"),
  @JsonSubTypes.Type(value = Edit.Remove.class, name = "remove")
})
public sealed interface Edit {

  /**
   * Applies the edit to a map of entries.
   *
   * @param entries entries by key; changed in place
   */
  void applyTo(Map<String, Entry> entries);

  /**
   * Adds an entry or replaces the one with its key.
   *
   * @param entry new entry
   */
  record Put(Entry entry) implements Edit {

    /** Checks that the entry is not null. */
    public Put {
      requireNonNull(entry, "entry");
    }

    @Override
    public void applyTo(Map<String, Entry> entries) {
      entries.put(entry.key(), entry);
    }
  }

  /**
   * Removes an entry.
   *
   * @param key key of the entry; nothing changes if there is no such entry
   */
  record Remove(String key) implements Edit {

    /** Checks that the key is not null. */
    public Remove {
      requireNonNull(key, "key");
    }

    @Override
    public void applyTo(Map<String, Entry> entries) {
      entries.remove(key);
    }
  }
}
