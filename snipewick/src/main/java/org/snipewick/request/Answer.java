package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;

/** Answer to a caller. */
public sealed interface Answer {

  /**
   * Tells how the answer ended.
   *
   * @return completes when its last part is known; never fails
   */
  CompletableFuture<Ending> ending();

  /**
   * Returns a whole answer.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body body; not copied and not to be changed
   * @param outputTokens output tokens in all
   * @return answer
   */
  static Answer whole(int status, String contentType, byte[] body, int outputTokens) {
    return new Whole(status, contentType, body, outputTokens);
  }

  /**
   * Returns an answer that is streamed as server-sent events.
   *
   * @param events events
   * @return answer
   */
  static Answer streamed(AnswerStream events) {
    return new Streamed(events);
  }

  /**
   * An answer that is there in full length.
   *
   * @param status HTTP status
   * @param contentType media type of the body
   * @param body body
   * @param outputTokens output tokens in all
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Whole(int status, String contentType, byte[] body, int outputTokens) implements Answer {

    /** Checks the parts. */
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
   * An answer that arrives event by event.
   *
   * @param events events
   */
  record Streamed(AnswerStream events) implements Answer {

    /** Media type of a stream of server-sent events. */
    public static final String CONTENT_TYPE = "text/event-stream";

    /** Checks the events. */
    public Streamed {
      requireNonNull(events, "events");
    }

    @Override
    public CompletableFuture<Ending> ending() {
      return events.ending();
    }
  }
}
