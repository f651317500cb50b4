package org.snipewick.store;

import static java.util.Objects.requireNonNull;

/** Conditional write of one row of the platform's table. */
public sealed interface Write {

  /**
   * Returns the key of the row.
   *
   * @return key of the row that is written
   */
  String key();

  /**
   * Returns a write that succeeds only if the row does not exist.
   *
   * @param key key of the row
   * @param value content
   * @return write
   */
  static Write insert(String key, String value) {
    return new Insert(key, value);
  }

  /**
   * Returns a write that succeeds only if the row has the given version.
   *
   * @param key key of the row
   * @param version version that the row must have
   * @param value new content
   * @return write
   */
  static Write replace(String key, long version, String value) {
    return new Replace(key, version, value);
  }

  /**
   * Returns a deletion that succeeds only if the row has the given version.
   *
   * @param key key of the row
   * @param version version that the row must have
   * @return write
   */
  static Write delete(String key, long version) {
    return new Delete(key, version);
  }

  /**
   * Insertion of a row that does not exist yet.
   *
   * @param key key of the row
   * @param value content
   */
  record Insert(String key, String value) implements Write {

    /** Checks that key and value are not null. */
    public Insert {
      requireNonNull(key, "key");
      requireNonNull(value, "value");
    }
  }

  /**
   * Replacement of a row that still has a known version.
   *
   * @param key key of the row
   * @param version version that the row must have
   * @param value new content
   */
  record Replace(String key, long version, String value) implements Write {

    /** Checks that key and value are not null. */
    public Replace {
      requireNonNull(key, "key");
      requireNonNull(value, "value");
    }
  }

  /**
   * Deletion of a row that still has a known version.
   *
   * @param key key of the row
   * @param version version that the row must have
   */
  record Delete(String key, long version) implements Write {

    /** Checks that the key is not null. */
    public Delete {
      requireNonNull(key, "key");
    }
  }
}
