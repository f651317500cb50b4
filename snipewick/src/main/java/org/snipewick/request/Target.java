package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import org.snipewick.catalogue.Entry;
import org.snipewick.identity.PoolName;

/** What a request is for. */
public sealed interface Target {

  /**
   * Returns the entry of the catalogue.
   *
   * @return model or service
   */
  Entry entry();

  /**
   * Returns the agreed time of requests that give none.
   *
   * @return time in milliseconds
   */
  long defaultTimeoutMillis();

  /**
   * Tells whether the call may have effects that must not be doubled.
   *
   * @return whether it may not be repeated without a key
   */
  boolean isAction();

  /**
   * Returns the number of tokens that count against the limits of the team.
   *
   * @return prompt tokens and longest answer; 0 for a plain service
   */
  long tokens();

  /**
   * Returns the pool that serves the request.
   *
   * @return name of the pool
   */
  default PoolName pool() {
    return PoolName.of(entry().name());
  }

  /**
   * A request to a model.
   *
   * @param entry model
   * @param prompt what is asked
   */
  record Model(Entry.Model entry, Prompt prompt) implements Target {

    /** Checks the parts. */
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
    public long tokens() {
      return (long) prompt.promptTokens() + prompt.maxOutputTokens();
    }
  }

  /**
   * A call to a plain service.
   *
   * @param entry service
   * @param method HTTP method in upper case
   * @param pathAndQuery path within the service, starting with a slash, and query
   */
  record Service(Entry.Service entry, String method, String pathAndQuery) implements Target {

    /** Checks the parts. */
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
    public long tokens() {
      return 0;
    }
  }
}
