package org.snipewick.settings;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.snipewick.event.LogFormat;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/**
 * Checked settings of an entry instance.
 *
 * @param instance name of the instance
 * @param failureDomain its failure domain
 * @param failureDomains all failure domains of the system, the same on all instances
 * @param callers where callers connect
 * @param operators where operators connect
 * @param peers where other entry instances connect
 * @param platform where the platform is
 * @param keys memory of idempotency keys
 * @param log form of the log
 * @param metrics where metrics are served; empty for the operators' address only
 */
public record Settings(
    InstanceId instance,
    FailureDomain failureDomain,
    Set<FailureDomain> failureDomains,
    Callers callers,
    Operators operators,
    Peers peers,
    Platform platform,
    Keys keys,
    Log log,
    Optional<Address> metrics) {

  /** Checks the parts and fills in what is optional. */
  public Settings {
    requireNonNull(instance, "instance");
    requireNonNull(failureDomain, "failureDomain");
    failureDomains = Set.copyOf(failureDomains);
    if (!failureDomains.contains(failureDomain)) {
      throw new IllegalArgumentException("failureDomains must contain " + failureDomain);
    }
    requireNonNull(callers, "callers");
    requireNonNull(operators, "operators");
    requireNonNull(peers, "peers");
    requireNonNull(platform, "platform");
    keys = keys == null ? new Keys(null) : keys;
    log = log == null ? new Log(null, null) : log;
    metrics = metrics == null ? Optional.empty() : metrics;
  }

  /**
   * Address for callers.
   *
   * @param host IP address to listen on
   * @param port TCP port
   * @param threads event loops that serve callers
   * @param maxBodyBytes largest body of a request, in bytes
   * @param drainMillis time after the start of a planned stop in which new calls are still served
   *     while the balancer turns away, in milliseconds
   */
  public record Callers(
      String host, int port, Integer threads, Integer maxBodyBytes, Long drainMillis) {
    private static final int DEFAULT_THREADS = 2;
    private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final long DEFAULT_DRAIN_MILLIS = 2_000;

    /** Fills in what is optional. */
    public Callers {
      requireNonNull(host, "host");
      threads = threads == null ? DEFAULT_THREADS : threads;
      maxBodyBytes = maxBodyBytes == null ? DEFAULT_MAX_BODY_BYTES : maxBodyBytes;
      drainMillis = drainMillis == null ? DEFAULT_DRAIN_MILLIS : drainMillis;
    }
  }

  /**
   * Address for operators.
   *
   * @param host IP address to listen on
   * @param port TCP port
   * @param accounts who may administer
   */
  public record Operators(String host, int port, List<Account> accounts) {

    /** Copies the accounts. */
    public Operators {
      requireNonNull(host, "host");
      accounts = List.copyOf(accounts);
    }
  }

  /**
   * An operator.
   *
   * @param name name, as written into the catalogue's history
   * @param tokenSha256 SHA-256 of the bearer token, in lower-case hexadecimal
   */
  public record Account(String name, String tokenSha256) {

    /** Checks the parts. */
    public Account {
      requireNonNull(name, "name");
      requireNonNull(tokenSha256, "tokenSha256");
    }
  }

  /**
   * Address for other entry instances.
   *
   * @param host IP address to listen on
   * @param port TCP port to listen on
   * @param announced address that other instances are told, the one to listen on if missing
   * @param seeds instances to ask first when the platform's list can't be read
   */
  public record Peers(String host, int port, Address announced, List<Seed> seeds) {

    /** Fills in what is optional and copies the seeds. */
    public Peers {
      requireNonNull(host, "host");
      announced = announced == null ? new Address(host, port) : announced;
      seeds = seeds == null ? List.of() : List.copyOf(seeds);
    }
  }

  /**
   * Address over which something is reached.
   *
   * @param host IP address
   * @param port TCP port
   */
  public record Address(String host, int port) {

    /** Checks the host. */
    public Address {
      requireNonNull(host, "host");
    }
  }

  /**
   * An entry instance known from the start.
   *
   * @param instance name
   * @param failureDomain its failure domain
   * @param host IP address
   * @param port peer port
   */
  public record Seed(InstanceId instance, FailureDomain failureDomain, String host, int port) {

    /** Checks the parts. */
    public Seed {
      requireNonNull(instance, "instance");
      requireNonNull(failureDomain, "failureDomain");
      requireNonNull(host, "host");
    }
  }

  /**
   * Address and limits of the platform.
   *
   * @param host IP address
   * @param port TCP port
   * @param timeoutMillis time after which a call is given up on, in milliseconds
   * @param writesPerSecond most writes per second that this instance sends
   * @param allWritesPerSecond most writes per second that all instances send together
   * @param readsPerSecond most reads per second that this instance sends
   * @param domainWriters whether bookings are written by one writer a failure domain where this
   *     shortens their wait
   */
  public record Platform(
      String host,
      int port,
      Long timeoutMillis,
      Double writesPerSecond,
      Double allWritesPerSecond,
      Double readsPerSecond,
      Boolean domainWriters) {
    private static final long DEFAULT_TIMEOUT_MILLIS = 1_000;
    private static final double DEFAULT_WRITES_PER_SECOND = 40;
    private static final double DEFAULT_ALL_WRITES_PER_SECOND = 320;
    private static final double DEFAULT_READS_PER_SECOND = 200;
    private static final boolean DEFAULT_DOMAIN_WRITERS = false;

    /** Fills in what is optional. */
    public Platform {
      requireNonNull(host, "host");
      timeoutMillis = timeoutMillis == null ? DEFAULT_TIMEOUT_MILLIS : timeoutMillis;
      writesPerSecond = writesPerSecond == null ? DEFAULT_WRITES_PER_SECOND : writesPerSecond;
      allWritesPerSecond =
          allWritesPerSecond == null ? DEFAULT_ALL_WRITES_PER_SECOND : allWritesPerSecond;
      readsPerSecond = readsPerSecond == null ? DEFAULT_READS_PER_SECOND : readsPerSecond;
      domainWriters = domainWriters == null ? DEFAULT_DOMAIN_WRITERS : domainWriters;
    }
  }

  /**
   * Memory of idempotency keys.
   *
   * @param retentionMillis how long keys of model requests and reads are remembered, in
   *     milliseconds
   */
  public record Keys(Long retentionMillis) {
    private static final long DEFAULT_RETENTION_MILLIS = 120_000;

    /** Fills in what is optional. */
    public Keys {
      retentionMillis = retentionMillis == null ? DEFAULT_RETENTION_MILLIS : retentionMillis;
    }
  }

  /**
   * Form of the log.
   *
   * @param format text for people or JSON for programs
   * @param level lowest level written
   */
  public record Log(Format format, Level level) {

    /** Fills in what is optional. */
    public Log {
      format = format == null ? Format.JSON : format;
      level = level == null ? Level.INFO : level;
    }

    /**
     * Applies these settings to the program's log.
     *
     * @return gives the number of lines that were dropped since, as the reader was too slow
     */
    public LongSupplier apply() {
      return LogFormat.valueOf(format.name()).apply(LogFormat.LogLevel.valueOf(level.name()));
    }
  }

  /** Published names of the forms of the log. */
  public enum Format {
    /** Text for people. */
    @JsonProperty("text")
    TEXT,
    /** JSON for programs. */
    @JsonProperty("json")
    JSON
  }

  /** Published names of the levels of the log. */
  public enum Level {
    /** Each step of each request. */
    @JsonProperty("debug")
    DEBUG,
    /** Changes of state. */
    @JsonProperty("info")
    INFO,
    /** What an operator should look at. */
    @JsonProperty("warn")
    WARN,
    /** Defects. */
    @JsonProperty("error")
    ERROR
  }
}
