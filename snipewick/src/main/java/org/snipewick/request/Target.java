package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import org.snipewick.catalogue.Entry;
import org.snipewick.identity.PoolName;

/** Model or plain service that a request is addressed to. */
public sealed interface Target {

  /**
   * Returns the catalogue entry of the target.
   *
   * @return entry of a model or service
   */
  Entry entry();

  /**
   * Returns the timeout of requests that don't set one.
   *
   * @return timeout in milliseconds
   */
  long defaultTimeoutMillis();

  /**
   * Returns whether the call may have side effects that must not happen twice.
   *
   * @return whether the call requires an idempotency key
   */
  boolean isAction();

  /**
   * Returns the number of tokens to reserve of the team's limits.
   *
   * @return prompt tokens plus maximum output tokens; 0 for a plain service
   */
  long tokensToReserve();

  /**
   * Returns the pool of endpoints that serves the request.
   *
   * @return name of the pool
   */
  default PoolName pool() {
    return PoolName.of(entry().name());
  }

  /**
   * A request to a model.
   *
   * @param entry catalogue entry of the model
   * @param prompt prompt
   */
  record Model(Entry.Model entry, Prompt prompt) implements Target {

    /** Checks that no component is null. */
    public Model {
      requireNonNull(entry, "entry");
      requireNonNull(prompt, "prompt");
    }

    @Override
    public long defaultTimeoutMillis() {
      return entry.timeoutMillis();
    }

    @Override
    public boolean isAction() {
      return false;
    }

    @Override
    public long tokensToReserve() {
      return (long) prompt.promptTokens() + prompt.maxOutputTokens();
    }
  }

  /**
   * A call to a plain service.
   *
   * @param entry catalogue entry of the service
   * @param method HTTP method in upper case
   * @param pathAndQuery path within the service, starting with a slash, and query
   */
  record Service(Entry.Service entry, String method, String pathAndQuery) implements Target {

    /** Checks that no component is null. */
    public Service {
      requireNonNull(entry, "entry");
      requireNonNull(method, "method");
      requireNonNull(pathAndQuery, "pathAndQuery");
    }

    @Override
    public long defaultTimeoutMillis() {
      return entry.timeoutMillis();
    }

    @Override
    public boolean isAction() {
      return !entry.repeatableMethods().contains(method);
    }

    @Override
    public long tokensToReserve() {
      return 0;
    }
  }
}
