package org.snipewick.bench.cluster;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes the settings files of entry instances on one host. */
final class EntrySettings {
  private static final String SETTINGS =
      """
      instance: %s
      failureDomain: %s
      failureDomains: [%s]
      callers: {host: 127.0.0.1, port: %d, drainMillis: 200}
      operators:
        host: 127.0.0.1
        port: %d
        accounts: [{name: operator, tokenSha256: %s}]
      metrics: {host: 127.0.0.1, port: %d}
      peers:
        host: 127.0.0.1
        port: %d
        announced: {host: 127.0.0.1, port: %d}
        seeds:
      %splatform: {host: 127.0.0.1, port: %s}
      """;

  private EntrySettings() {}

  /**
   * Ports of an entry instance on the loopback address.
   *
   * @param callers port for callers
   * @param operators port for operators
   * @param metrics port for metrics
   * @param peers port to listen on for other instances
   * @param announced port by which other instances reach it
   */
  record Ports(int callers, int operators, int metrics, int peers, int announced) {

    static Ports allocate(Links links, String domain) {
      int peers = FreePorts.next();
      int announced = links.portToInstance(domain, peers);
      return new Ports(FreePorts.next(), FreePorts.next(), FreePorts.next(), peers, announced);
    }
  }

  static Path write(Path directory, String name, Map<String, Ports> entries, String platform) {
    try {
      return Files.writeString(directory.resolve(name + ".yaml"), render(name, entries, platform));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static String render(String name, Map<String, Ports> entries, String platform) {
    Ports ports = entries.get(name);
    StringBuilder seeds = new StringBuilder();
    entries.forEach(
        (other, otherPorts) ->
            seeds.append(
                "    - {instance: %s, failureDomain: %s, host: 127.0.0.1, port: %d}%n"
                    .formatted(other, Cluster.domain(other), otherPorts.announced())));
    return SETTINGS.formatted(
        name,
        Cluster.domain(name),
        entries.keySet().stream().map(Cluster::domain).distinct().collect(Collectors.joining(", ")),
        ports.callers(),
        ports.operators(),
        sha256(Cluster.OPERATOR_TOKEN),
        ports.metrics(),
        ports.peers(),
        ports.announced(),
        seeds,
        platform);
  }

  static String sha256(String text) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(digest);
    } catch (NoSuchAlgorithmException failure) {
      throw new IllegalStateException(failure);
    }
  }
}
