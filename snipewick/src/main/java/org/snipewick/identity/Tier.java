package org.snipewick.identity;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Tier of a request, named class in the interface for callers. Tier 1 is the highest and is shed
 * last.
 */
public enum Tier {
  /** Highest tier. */
  ONE(1),
  /** Second tier. */
  TWO(2),
  /** Third tier. */
  THREE(3),
  /** Lowest tier. */
  FOUR(4);

  private final int number;

  Tier(int number) {
    this.number = number;
  }

  /**
   * Returns the tier with a number.
   *
   * @param number 1 (highest) to 4 (lowest)
   * @return tier
   * @throws IllegalArgumentException if the number is not 1 to 4
   */
  @JsonCreator
  public static Tier of(int number) {
    if (number < 1 || number > values().length) {
      throw new IllegalArgumentException("tier must be 1 to 4 but is " + number);
    }
    return values()[number - 1];
  }

  /**
   * Returns the number of this tier.
   *
   * @return 1 (highest) to 4 (lowest)
   */
  @JsonValue
  public int number() {
    return number;
  }

  /**
   * Returns whether this tier is higher than another, and therefore shed after it.
   *
   * @param other tier to compare with
   * @return whether this tier is strictly higher
   */
  public boolean isHigherThan(Tier other) {
    return number < other.number;
  }
}
