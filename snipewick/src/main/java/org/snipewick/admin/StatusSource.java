package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import java.util.function.Supplier;

/** Contribution of one part to the status of an instance. */
public interface StatusSource {

  /**
   * Returns the name of the part.
   *
   * @return member name in the status
   */
  String name();

  /**
   * Returns what the part says now; must not block.
   *
   * @return value that Jackson can map
   */
  Object value();

  /**
   * Returns a contribution.
   *
   * @param name member name in the status
   * @param value gives what the part says now
   * @return contribution
   */
  static StatusSource of(String name, Supplier<?> value) {
    requireNonNull(name, "name");
    requireNonNull(value, "value");
    return new StatusSource() {
      @Override
      public String name() {
        return name;
      }

      @Override
      public Object value() {
        return value.get();
      }
    };
  }
}
