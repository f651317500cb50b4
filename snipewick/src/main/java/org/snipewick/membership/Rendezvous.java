package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Rendezvous hashing: who among candidates has a duty, so that few duties move on a change. */
public final class Rendezvous {
  private Rendezvous() {}

  /**
   * Orders candidates by their claim to a duty, first the holder.
   *
   * @param duty name of the duty
   * @param candidates who may hold it
   * @param name maps a candidate to its stable name
   * @param <T> candidate
   * @return candidates in order
   */
  public static <T> List<T> rank(String duty, Collection<T> candidates, Function<T, String> name) {
    requireNonNull(duty, "duty");
    return candidates.stream()
        .sorted(
            Comparator.<T>comparingLong(candidate -> weight(duty, name.apply(candidate)))
                .reversed()
                .thenComparing(name))
        .toList();
  }

  /**
   * Returns the holder of a duty.
   *
   * @param duty name of the duty
   * @param candidates who may hold it
   * @param name maps a candidate to its stable name
   * @param <T> candidate
   * @return first in rank, empty if there are no candidates
   */
  public static <T> Optional<T> first(
      String duty, Collection<T> candidates, Function<T, String> name) {
    return candidates.stream()
        .max(
            Comparator.<T>comparingLong(candidate -> weight(duty, name.apply(candidate)))
                .thenComparing(name, Comparator.reverseOrder()));
  }

  private static long weight(String duty, String name) {
    return Hashing.komihash5_0().hashStream().putString(duty).putString(name).getAsLong();
  }
}
