package org.snipewick.platform;

import java.util.Set;
import org.snipewick.relay.HeaderNames;

/** Names of the platform's HTTP headers. */
final class PlatformHeaders {
  /** Header names of the platform by their meaning for the relay. */
  static final HeaderNames NAMES =
      new HeaderNames(
          "Request-Id",
          "Deadline-Ms",
          "Api-Key",
          "Tenant",
          "Expect-Instance",
          "Token-Usage",
          "Prompt-Prefix",
          "Server-Stamp",
          "Server-Load",
          "Not-Executed",
          "Server-Leaving",
          "Server-Limit",
          "Last-Event-Id",
          Set.of("api-key", "tenant", "deadline-ms", "pin-ms"),
          Set.of("kv-", "expect-"));

  private PlatformHeaders() {}
}
