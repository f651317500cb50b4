package org.snipewick.platform;

import java.util.Set;
import org.snipewick.relay.HeaderNames;

/** Names of the headers on the platform. */
final class PlatformHeaders {
  /** Names that the pages give, with what each means to the relay. */
  static final HeaderNames NAMES =
      new HeaderNames(
          "Request-Id",
          "Deadline-Ms",
          "Api-Key",
          "Tenant",
          "Expect-Instance",
          "Token-Usage",
          "Server-Stamp",
          "Server-Load",
          "Not-Executed",
          "Last-Event-Id",
          Set.of("api-key", "tenant", "deadline-ms", "pin-ms"),
          Set.of("kv-", "expect-"));

  private PlatformHeaders() {}
}
