package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import java.util.function.Supplier;

/** Source of one member of an instance's status document. */
public interface StatusSource {

  /**
   * Returns the name of the member.
   *
   * @return member name in the status
   */
  String name();

  /**
   * Returns the current value. Must not block.
   *
   * @return value that Jackson can serialize
   */
  Object value();

  /**
   * Returns a source with a fixed name.
   *
   * @param name member name in the status
   * @param value returns the current value; must not block
   * @return source
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
