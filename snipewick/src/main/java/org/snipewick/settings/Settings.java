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
 * Validated settings of an entry instance.
 *
 * @param instance name of the instance
 * @param failureDomain failure domain of the instance
 * @param failureDomains all failure domains of the system, the same on all instances
 * @param callers address and limits for callers
 * @param operators address and accounts for operators
 * @param peers addresses for other entry instances
 * @param platform address and rate limits of the platform
 * @param keys retention of idempotency keys
 * @param log format and level of the log
 * @param metrics additional address that serves metrics; empty if only the operators' address does
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

  /**
   * Validates the components and sets the defaults of optional ones.
   *
   * @throws IllegalArgumentException if {@code failureDomains} does not contain {@code
   *     failureDomain}
   */
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
   * Address that the server for callers listens on, and its limits.
   *
   * @param host IP address to listen on
   * @param port TCP port
   * @param threads number of event loops that serve callers
   * @param maxBodyBytes maximum size of a request body, in bytes
   * @param drainMillis time after the start of a planned stop in which new calls are still served,
   *     until the load balancer sends no more, in milliseconds
   */
  public record Callers(
      String host, int port, Integer threads, Integer maxBodyBytes, Long drainMillis) {
    private static final int DEFAULT_THREADS = 2;
    private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final long DEFAULT_DRAIN_MILLIS = 2_000;

    /** Sets the defaults of optional components. */
    public Callers {
      requireNonNull(host, "host");
      threads = threads == null ? DEFAULT_THREADS : threads;
      maxBodyBytes = maxBodyBytes == null ? DEFAULT_MAX_BODY_BYTES : maxBodyBytes;
      drainMillis = drainMillis == null ? DEFAULT_DRAIN_MILLIS : drainMillis;
    }
  }

  /**
   * Address that the server for operators listens on, and who may use it.
   *
   * @param host IP address to listen on
   * @param port TCP port
   * @param accounts operators that may administer the system
   */
  public record Operators(String host, int port, List<Account> accounts) {

    /** Checks the host and copies the accounts. */
    public Operators {
      requireNonNull(host, "host");
      accounts = List.copyOf(accounts);
    }
  }

  /**
   * Account of an operator.
   *
   * @param name name, as recorded in the history of the catalogue
   * @param tokenSha256 SHA-256 of the bearer token, in lower-case hexadecimal
   */
  public record Account(String name, String tokenSha256) {

    /** Throws {@link NullPointerException} if a component is null. */
    public Account {
      requireNonNull(name, "name");
      requireNonNull(tokenSha256, "tokenSha256");
    }
  }

  /**
   * Addresses for peers, that is, for other entry instances.
   *
   * @param host IP address to listen on
   * @param port TCP port to listen on
   * @param announced address announced to peers; defaults to the one to listen on
   * @param seeds instances to contact first when the platform's list cannot be read; may be null
   */
  public record Peers(String host, int port, Address announced, List<Seed> seeds) {

    /** Sets the defaults of optional components and copies the seeds. */
    public Peers {
      requireNonNull(host, "host");
      announced = announced == null ? new Address(host, port) : announced;
      seeds = seeds == null ? List.of() : List.copyOf(seeds);
    }
  }

  /**
   * Network address.
   *
   * @param host IP address
   * @param port TCP port
   */
  public record Address(String host, int port) {

    /** Throws {@link NullPointerException} if the host is null. */
    public Address {
      requireNonNull(host, "host");
    }
  }

  /**
   * Entry instance that is configured as a first contact.
   *
   * @param instance name of the instance
   * @param failureDomain its failure domain
   * @param host its IP address for peers
   * @param port its TCP port for peers
   */
  public record Seed(InstanceId instance, FailureDomain failureDomain, String host, int port) {

    /** Throws {@link NullPointerException} if a component is null. */
    public Seed {
      requireNonNull(instance, "instance");
      requireNonNull(failureDomain, "failureDomain");
      requireNonNull(host, "host");
    }
  }

  /**
   * Address and rate limits of the platform.
   *
   * @param host IP address
   * @param port TCP port
   * @param timeoutMillis time after which a call times out, in milliseconds
   * @param writesPerSecond maximum writes per second that this instance sends
   * @param allWritesPerSecond maximum writes per second that all instances send together
   * @param readsPerSecond maximum reads per second that this instance sends
   * @param domainWriters whether the instances of a failure domain may send the writes for calls
   *     with side effects, such as bookings, through one of them, which they do where this shortens
   *     the wait
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

    /** Sets the defaults of optional components. */
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
   * Retention of idempotency keys.
   *
   * @param retentionMillis time for which keys of model requests and reads are retained, in
   *     milliseconds
   */
  public record Keys(Long retentionMillis) {
    private static final long DEFAULT_RETENTION_MILLIS = 120_000;

    /** Sets the defaults of optional components. */
    public Keys {
      retentionMillis = retentionMillis == null ? DEFAULT_RETENTION_MILLIS : retentionMillis;
    }
  }

  /**
   * Format and level of the log.
   *
   * @param format text for people or JSON for programs; JSON by default
   * @param level lowest level written; INFO by default
   */
  public record Log(Format format, Level level) {

    /** Sets the defaults of optional components. */
    public Log {
      format = format == null ? Format.JSON : format;
      level = level == null ? Level.INFO : level;
    }

    /**
     * Applies these settings to the log of the process.
     *
     * @return supplier of the number of lines dropped since then because the reader of the log was
     *     too slow
     */
    public LongSupplier apply() {
      return LogFormat.valueOf(format.name()).apply(LogFormat.LogLevel.valueOf(level.name()));
    }
  }

  /** Formats of the log, with their names in settings files. */
  public enum Format {
    /** Text for people. */
    @JsonProperty("text")
    TEXT,
    /** JSON for programs. */
    @JsonProperty("json")
    JSON
  }

  /** Levels of the log, with their names in settings files. */
  public enum Level {
    /** Every step of every request. */
    @JsonProperty("debug")
    DEBUG,
    /** Changes of state. */
    @JsonProperty("info")
    INFO,
    /** Conditions that an operator should check. */
    @JsonProperty("warn")
    WARN,
    /** Defects. */
    @JsonProperty("error")
    ERROR
  }
}
