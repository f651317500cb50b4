package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Rendezvous hashing: assigns keys to candidates such that a change of the candidates moves few
 * keys.
 */
public final class Rendezvous {
  private Rendezvous() {}

  /**
   * Returns candidates in descending order of their hash weight for a key.
   *
   * @param key key to assign
   * @param candidates candidates for the key
   * @param name maps a candidate to its stable name
   * @param <T> type of a candidate
   * @return all candidates; the first one owns the key
   */
  public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
    requireNonNull(key, "key");
    return candidates.stream()
        .sorted(
            Comparator.<T>comparingLong(candidate -> weight(key, name.apply(candidate)))
                .reversed()
                .thenComparing(name))
        .toList();
  }

  /**
   * Returns the owner of a key: the candidate with the highest hash weight for it.
   *
   * @param key key to assign
   * @param candidates candidates for the key
   * @param name maps a candidate to its stable name
   * @param <T> type of a candidate
   * @return first of {@link #rank}, empty if there are no candidates
   */
  public static <T> Optional<T> first(
      String key, Collection<T> candidates, Function<T, String> name) {
    return candidates.stream()
        .max(
            Comparator.<T>comparingLong(candidate -> weight(key, name.apply(candidate)))
                .thenComparing(name, Comparator.reverseOrder()));
  }

  private static long weight(String key, String name) {
    return Hashing.komihash5_0().hashStream().putString(key).putString(name).getAsLong();
  }
}
