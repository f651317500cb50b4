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

/** Index of teams by bearer token, rebuilt for each version of the catalogue. Thread-safe. */
public final class TeamIndex {
  private final CatalogueSource catalogue;
  private final AtomicReference<Snapshot> snapshot;

  private TeamIndex(CatalogueSource catalogue) {
    this.catalogue = catalogue;
    this.snapshot = new AtomicReference<>(Snapshot.of(catalogue.current()));
  }

  /**
   * Returns the index of the teams in a catalogue.
   *
   * @param catalogue source of the catalogue in force
   * @return index
   */
  public static TeamIndex of(CatalogueSource catalogue) {
    return new TeamIndex(requireNonNull(catalogue, "catalogue"));
  }

  /**
   * Returns the team with a bearer token.
   *
   * @param token bearer token as the caller sent it
   * @return team, empty if no team has the token
   */
  public Optional<Entry.Team> find(String token) {
    return Optional.ofNullable(current().teams().get(sha256(token)));
  }

  /**
   * Returns the SHA-256 hash of a text in UTF-8.
   *
   * @param text text
   * @return hash in lower-case hexadecimal
   */
  public static String sha256(String text) {
    return HexFormat.of().formatHex(newSha256().digest(text.getBytes(StandardCharsets.UTF_8)));
  }

  static MessageDigest newSha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("hash algorithm SHA-256 is not available", missing);
    }
  }

  private Snapshot current() {
    Catalogue latest = catalogue.current();
    Snapshot cached = snapshot.get();
    if (cached.version() == latest.version()) {
      return cached;
    }
    return snapshot.updateAndGet(
        before -> before.version() >= latest.version() ? before : Snapshot.of(latest));
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
