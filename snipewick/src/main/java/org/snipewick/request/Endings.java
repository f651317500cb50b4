package org.snipewick.request;

/** Runs tasks when an answer has ended or its reader is done. */
final class Endings {
  private Endings() {}

  /** Runs a task when an answer has ended, or at once if it is null because the call failed. */
  static void whenEnded(Answer answer, Runnable task) {
    if (answer == null) {
      task.run();
    } else {
      Futures.whenResult(answer.ending(), ending -> task.run());
    }
  }

  /**
   * Runs a task when the caller has read the end of a streamed answer or has disconnected, or at
   * once if the answer is not streamed or is null.
   */
  static void whenReaderDone(Answer answer, Runnable task) {
    if (answer instanceof Answer.Streamed streamed) {
      Futures.whenResult(streamed.events().readerDone(), deliveredToEnd -> task.run());
    } else {
      task.run();
    }
  }
}
