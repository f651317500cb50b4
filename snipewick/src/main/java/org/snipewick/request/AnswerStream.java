package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Text that flows from an endpoint to one caller, event by event. One thread writes and one reads;
 * they need not be the same.
 */
public final class AnswerStream {
  private static final int MAX_WAITING_EVENTS = 1024;
  private static final CompletableFuture<Void> READY = CompletableFuture.completedFuture(null);

  private final Deque<String> waiting = new ArrayDeque<>();
  private final StringBuilder transcript = new StringBuilder();
  private final int maxTranscriptCharacters;
  private final CompletableFuture<Ending> ending = new CompletableFuture<>();
  private final CompletableFuture<Boolean> released = new CompletableFuture<>();
  private CompletableFuture<Optional<String>> reader;
  private CompletableFuture<Void> writer;
  private boolean ended;
  private boolean left;

  /**
   * Creates an empty stream.
   *
   * @return stream
   */
  public static AnswerStream empty() {
    return new AnswerStream(0);
  }

  /**
   * Creates an empty stream that remembers what was added.
   *
   * @param maxCharacters longest text that is remembered
   * @return stream
   */
  public static AnswerStream withTranscript(int maxCharacters) {
    return new AnswerStream(maxCharacters);
  }

  /**
   * Creates a stream that has ended completely.
   *
   * @param text all its events
   * @return stream
   */
  public static AnswerStream ofAll(String text) {
    AnswerStream stream = empty();
    stream.waiting.add(text);
    stream.end(Ending.complete(0));
    return stream;
  }

  private AnswerStream(int maxTranscriptCharacters) {
    this.maxTranscriptCharacters = maxTranscriptCharacters;
  }

  /**
   * Adds an event; after the end it is dropped.
   *
   * @param event text of the event
   * @return completes when the next event may be added
   */
  public CompletableFuture<Void> add(String event) {
    requireNonNull(event, "event");
    CompletableFuture<Optional<String>> reading;
    synchronized (this) {
      if (ended || left) {
        return READY;
      }
      remember(event);
      if (reader == null) {
        waiting.add(event);
        return waiting.size() < MAX_WAITING_EVENTS ? READY : awaitReader();
      }
      reading = takeReader();
    }
    reading.complete(Optional.of(event));
    return READY;
  }

  /**
   * Ends the stream; ending it again has no effect.
   *
   * @param how how it ended
   */
  public void end(Ending how) {
    requireNonNull(how, "how");
    CompletableFuture<Optional<String>> reading;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      reading = takeReader();
    }
    ending.complete(how);
    if (reading != null) {
      reading.complete(Optional.empty());
      released.complete(true);
    }
  }

  /**
   * Adds a last event and ends the stream; ending it again has no effect.
   *
   * @param last text of the last event
   * @param how how the stream ended
   */
  public void endWith(String last, Ending how) {
    CompletableFuture<Void> unused = add(last);
    end(how);
  }

  /**
   * Takes the next event; to be called again only after the last call has completed.
   *
   * @return event, empty after the end
   */
  public CompletableFuture<Optional<String>> next() {
    CompletableFuture<Void> writing;
    CompletableFuture<Optional<String>> result;
    synchronized (this) {
      if (waiting.isEmpty() && !ended) {
        reader = new CompletableFuture<>();
        return reader;
      }
      result = CompletableFuture.completedFuture(Optional.ofNullable(waiting.poll()));
      writing = waiting.isEmpty() ? takeWriter() : null;
    }
    if (writing != null) {
      writing.complete(null);
    }
    if (result.join().isEmpty()) {
      released.complete(true);
    }
    return result;
  }

  /** Notes that the reader is gone: what is waiting and what still comes is dropped. */
  public void leave() {
    CompletableFuture<Void> writing;
    synchronized (this) {
      left = true;
      waiting.clear();
      writing = takeWriter();
    }
    if (writing != null) {
      writing.complete(null);
    }
    released.complete(false);
  }

  /**
   * Returns how the stream ended.
   *
   * @return completes at the end; never fails
   */
  public CompletableFuture<Ending> ending() {
    return ending;
  }

  /**
   * Tells when the reader needs the stream no longer.
   *
   * @return completes with true when the reader was told of the end, with false when it left
   */
  public CompletableFuture<Boolean> released() {
    return released;
  }

  /**
   * Returns all that was added.
   *
   * @return text of the events, empty if it is longer than what is remembered
   */
  public synchronized Optional<String> transcript() {
    return transcript.length() > maxTranscriptCharacters
        ? Optional.empty()
        : Optional.of(transcript.toString());
  }

  private void remember(String event) {
    if (maxTranscriptCharacters > 0 && transcript.length() <= maxTranscriptCharacters) {
      transcript.append(event);
    }
  }

  private CompletableFuture<Void> awaitReader() {
    if (writer == null) {
      writer = new CompletableFuture<>();
    }
    return writer;
  }

  private CompletableFuture<Optional<String>> takeReader() {
    CompletableFuture<Optional<String>> taken = reader;
    reader = null;
    return taken;
  }

  private CompletableFuture<Void> takeWriter() {
    CompletableFuture<Void> taken = writer;
    writer = null;
    return taken;
  }
}
