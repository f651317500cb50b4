package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;

/** Finds the team of a bearer token; rebuilt for each version of the catalogue. */
public final class TeamIndex {
  private final CatalogueSource catalogue;
  private final AtomicReference<Snapshot> snapshot;

  private TeamIndex(CatalogueSource catalogue) {
    this.catalogue = catalogue;
    this.snapshot = new AtomicReference<>(Snapshot.of(catalogue.current()));
  }

  /**
   * Returns an index.
   *
   * @param catalogue catalogue in force
   * @return index
   */
  public static TeamIndex of(CatalogueSource catalogue) {
    return new TeamIndex(requireNonNull(catalogue, "catalogue"));
  }

  /**
   * Finds a team.
   *
   * @param token bearer token as the caller gave it
   * @return team, empty if the token is nobody's
   */
  public Optional<Entry.Team> find(String token) {
    return Optional.ofNullable(current().teams().get(sha256(token)));
  }

  /**
   * Hashes a text.
   *
   * @param text text
   * @return SHA-256 in lower-case hexadecimal
   */
  public static String sha256(String text) {
    return HexFormat.of().formatHex(digest().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  static MessageDigest digest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java platform has SHA-256", missing);
    }
  }

  private Snapshot current() {
    Catalogue now = catalogue.current();
    Snapshot held = snapshot.get();
    if (held.version() == now.version()) {
      return held;
    }
    return snapshot.updateAndGet(
        before -> before.version() >= now.version() ? before : Snapshot.of(now));
  }

  private record Snapshot(long version, Map<String, Entry.Team> teams) {

    static Snapshot of(Catalogue catalogue) {
      Map<String, Entry.Team> teams =
          catalogue.all(Entry.Team.class).stream()
              .collect(
                  Collectors.toUnmodifiableMap(
                      Entry.Team::tokenSha256, team -> team, (first, second) -> first));
      return new Snapshot(catalogue.version(), teams);
    }
  }
}
