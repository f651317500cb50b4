package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.OptionalLong;

/** What came of an HTTP call. */
sealed interface Reply {
  int OK = 200;
  int REDIRECTION = 300;
  int NOT_MODIFIED = 304;
  int CLIENT_ERROR = 400;
  int NOT_FOUND = 404;
  int TOO_MANY_REQUESTS = 429;
  int SERVER_ERROR = 500;
  int UNAVAILABLE = 503;

  /** Returns whether the platform is at work, whatever it answered. */
  boolean showsPlatformAlive();

  /** Returns whether it is sure that the call had no effect. */
  boolean hadNoEffect();

  /** Returns whether another attempt may go better. */
  boolean isWorthRepeating();

  /** Returns what happened, in English. */
  String detail();

  /** The platform answered. */
  record Answered(int status, Optional<String> entityTag, byte[] body) implements Reply {
    private static final String NUMBER = "\\d{1,18}";

    /** Checks the parts. */
    public Answered {
      requireNonNull(entityTag, "entityTag");
      requireNonNull(body, "body");
    }

    /** Returns the version of a row, which is its entity tag. */
    OptionalLong version() {
      return entityTag
          .map(tag -> tag.replace("\"", ""))
          .filter(tag -> tag.matches(NUMBER))
          .map(tag -> OptionalLong.of(Long.parseLong(tag)))
          .orElseGet(OptionalLong::empty);
    }

    @Override
    public boolean showsPlatformAlive() {
      return status < SERVER_ERROR;
    }

    @Override
    public boolean hadNoEffect() {
      return status == UNAVAILABLE || (status >= CLIENT_ERROR && status < SERVER_ERROR);
    }

    @Override
    public boolean isWorthRepeating() {
      return status == TOO_MANY_REQUESTS || status >= SERVER_ERROR;
    }

    @Override
    public String detail() {
      return "platform answered with status " + status;
    }
  }

  /** The call was not sent. */
  record NotSent(String detail) implements Reply {

    /** Checks the detail. */
    public NotSent {
      requireNonNull(detail, "detail");
    }

    @Override
    public boolean showsPlatformAlive() {
      return false;
    }

    @Override
    public boolean hadNoEffect() {
      return true;
    }

    @Override
    public boolean isWorthRepeating() {
      return true;
    }
  }

  /** The call may have been received; its answer is lost. */
  record Lost(String detail) implements Reply {

    /** Checks the detail. */
    public Lost {
      requireNonNull(detail, "detail");
    }

    @Override
    public boolean showsPlatformAlive() {
      return false;
    }

    @Override
    public boolean hadNoEffect() {
      return false;
    }

    @Override
    public boolean isWorthRepeating() {
      return true;
    }
  }
}
