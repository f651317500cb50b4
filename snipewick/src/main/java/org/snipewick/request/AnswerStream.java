package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Queue of the text events of an answer between one writer (the endpoint) and one reader (the
 * caller). Thread-safe for one writer and one reader on different threads.
 */
public final class AnswerStream {
  /** Length of the queue from which the writer waits until the reader has emptied it. */
  private static final int MAX_QUEUED_EVENTS = 1024;

  private static final CompletableFuture<Void> READY = CompletableFuture.completedFuture(null);

  private final Deque<String> queue = new ArrayDeque<>();
  private final StringBuilder transcript = new StringBuilder();
  private final int maxTranscriptCharacters;
  private final CompletableFuture<Ending> ending = new CompletableFuture<>();
  private final CompletableFuture<Boolean> readerDone = new CompletableFuture<>();
  private CompletableFuture<Optional<String>> pendingRead;
  private CompletableFuture<Void> pendingWrite;
  private boolean ended;
  private boolean readingCancelled;

  /**
   * Creates an empty stream without a transcript.
   *
   * @return stream
   */
  public static AnswerStream empty() {
    return new AnswerStream(0);
  }

  /**
   * Creates an empty stream that keeps a transcript of its events.
   *
   * @param maxCharacters maximum length of the transcript; a longer one is not kept
   * @return stream
   */
  public static AnswerStream withTranscript(int maxCharacters) {
    return new AnswerStream(maxCharacters);
  }

  /**
   * Creates a stream that has ended and holds a complete answer as one event.
   *
   * @param text text of the answer: all its server-sent events
   * @return stream
   */
  public static AnswerStream ofCompleteText(String text) {
    AnswerStream stream = empty();
    stream.queue.add(text);
    stream.end(Ending.complete(0));
    return stream;
  }

  private AnswerStream(int maxTranscriptCharacters) {
    this.maxTranscriptCharacters = maxTranscriptCharacters;
  }

  /**
   * Adds an event. An event after the end, or after reading was cancelled, is dropped.
   *
   * @param event text of the event
   * @return future that completes when the next event may be added (back-pressure): at once, or
   *     when the reader has emptied a full queue
   */
  public CompletableFuture<Void> add(String event) {
    requireNonNull(event, "event");
    CompletableFuture<Optional<String>> read;
    synchronized (this) {
      if (ended || readingCancelled) {
        return READY;
      }
      appendToTranscript(event);
      if (pendingRead == null) {
        queue.add(event);
        return queue.size() < MAX_QUEUED_EVENTS ? READY : awaitEmptyQueue();
      }
      read = takePendingRead();
    }
    read.complete(Optional.of(event));
    return READY;
  }

  /**
   * Ends the stream; ending it again has no effect.
   *
   * @param ending how the stream ended
   */
  public void end(Ending ending) {
    requireNonNull(ending, "ending");
    CompletableFuture<Optional<String>> read;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      read = takePendingRead();
    }
    this.ending.complete(ending);
    if (read != null) {
      read.complete(Optional.empty());
      readerDone.complete(true);
    }
  }

  /**
   * Adds a last event and ends the stream. Has no effect on a stream that has ended.
   *
   * @param last text of the last event
   * @param ending how the stream ended
   */
  public void endWith(String last, Ending ending) {
    CompletableFuture<Void> unused = add(last);
    end(ending);
  }

  /**
   * Removes and returns the next event. Must be called again only after the future of the previous
   * call has completed.
   *
   * @return future with the next event, or empty after the end
   */
  public CompletableFuture<Optional<String>> next() {
    CompletableFuture<Void> write;
    CompletableFuture<Optional<String>> result;
    synchronized (this) {
      if (queue.isEmpty() && !ended) {
        pendingRead = new CompletableFuture<>();
        return pendingRead;
      }
      result = CompletableFuture.completedFuture(Optional.ofNullable(queue.poll()));
      write = queue.isEmpty() ? takePendingWrite() : null;
    }
    if (write != null) {
      write.complete(null);
    }
    if (result.join().isEmpty()) {
      readerDone.complete(true);
    }
    return result;
  }

  /** Cancels reading: drops the queued events and all that are added from now on. */
  public void cancelReading() {
    CompletableFuture<Void> write;
    synchronized (this) {
      readingCancelled = true;
      queue.clear();
      write = takePendingWrite();
    }
    if (write != null) {
      write.complete(null);
    }
    readerDone.complete(false);
  }

  /**
   * Returns how the stream ended.
   *
   * @return future that completes at the end; never fails
   */
  public CompletableFuture<Ending> ending() {
    return ending;
  }

  /**
   * Returns whether the reader read the stream to its end.
   *
   * @return future that completes with true when the reader has received the end, with false when
   *     reading was cancelled
   */
  public CompletableFuture<Boolean> readerDone() {
    return readerDone;
  }

  /**
   * Returns the transcript: the text of all events added so far.
   *
   * @return text, empty if it exceeds the maximum length
   */
  public synchronized Optional<String> transcript() {
    return transcript.length() > maxTranscriptCharacters
        ? Optional.empty()
        : Optional.of(transcript.toString());
  }

  private void appendToTranscript(String event) {
    if (maxTranscriptCharacters > 0 && transcript.length() <= maxTranscriptCharacters) {
      transcript.append(event);
    }
  }

  private CompletableFuture<Void> awaitEmptyQueue() {
    if (pendingWrite == null) {
      pendingWrite = new CompletableFuture<>();
    }
    return pendingWrite;
  }

  private CompletableFuture<Optional<String>> takePendingRead() {
    CompletableFuture<Optional<String>> taken = pendingRead;
    pendingRead = null;
    return taken;
  }

  private CompletableFuture<Void> takePendingWrite() {
    CompletableFuture<Void> taken = pendingWrite;
    pendingWrite = null;
    return taken;
  }
}
