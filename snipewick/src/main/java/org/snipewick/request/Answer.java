package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;

/** Answer to a call: sent whole, or streamed as server-sent events. */
public sealed interface Answer {

  /**
   * Returns how the answer ended.
   *
   * @return future that completes when the last part is known; never fails
   */
  CompletableFuture<Ending> ending();

  /**
   * Returns a whole answer.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body body; not copied, must not be changed
   * @param outputTokens total number of output tokens
   * @return answer
   */
  static Answer whole(int status, String contentType, byte[] body, int outputTokens) {
    return new Whole(status, contentType, body, outputTokens);
  }

  /**
   * Returns an answer that is streamed as server-sent events.
   *
   * @param events events of the answer
   * @return answer
   */
  static Answer streamed(AnswerStream events) {
    return new Streamed(events);
  }

  /**
   * An answer whose body is held in full.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body body
   * @param outputTokens total number of output tokens
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Whole(int status, String contentType, byte[] body, int outputTokens) implements Answer {

    /** Checks that content type and body are not null. */
    public Whole {
      requireNonNull(contentType, "contentType");
      requireNonNull(body, "body");
    }

    @Override
    public CompletableFuture<Ending> ending() {
      return CompletableFuture.completedFuture(Ending.complete(outputTokens));
    }
  }

  /**
   * An answer whose events are passed on as they arrive.
   *
   * @param events events of the answer
   */
  record Streamed(AnswerStream events) implements Answer {

    /** Media type of a stream of server-sent events. */
    public static final String CONTENT_TYPE = "text/event-stream";

    /** Checks that the events are not null. */
    public Streamed {
      requireNonNull(events, "events");
    }

    @Override
    public CompletableFuture<Ending> ending() {
      return events.ending();
    }
  }
}
