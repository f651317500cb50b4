package org.snipewick.request;

/** Helps filters to act when an answer has ended. */
final class Endings {
  private Endings() {}

  /** Runs a task at the end of an answer, or at once if there is none because the call failed. */
  static void whenEnded(Answer answer, Runnable task) {
    if (answer == null) {
      task.run();
    } else {
      Futures.whenResult(answer.ending(), ending -> task.run());
    }
  }

  /** Runs a task when the caller has taken an answer or is gone, or at once if there is none. */
  static void whenDelivered(Answer answer, Runnable task) {
    if (answer instanceof Answer.Streamed streamed) {
      Futures.whenResult(streamed.events().released(), released -> task.run());
    } else {
      task.run();
    }
  }
}
