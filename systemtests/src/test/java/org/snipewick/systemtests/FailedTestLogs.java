package org.snipewick.systemtests;

import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.LifecycleMethodExecutionExceptionHandler;
import org.junit.jupiter.api.extension.TestExecutionExceptionHandler;
import org.snipewick.bench.cluster.Processes;

/** Prints the logs of the processes that a failed test or its set-up used. */
public final class FailedTestLogs
    implements TestExecutionExceptionHandler, LifecycleMethodExecutionExceptionHandler {

  @Override
  public void handleTestExecutionException(ExtensionContext context, Throwable failure)
      throws Throwable {
    print(context);
    throw failure;
  }

  @Override
  public void handleBeforeEachMethodExecutionException(ExtensionContext context, Throwable failure)
      throws Throwable {
    print(context);
    throw failure;
  }

  @Override
  public void handleBeforeAllMethodExecutionException(ExtensionContext context, Throwable failure)
      throws Throwable {
    print(context);
    throw failure;
  }

  private static void print(ExtensionContext context) {
    Processes.latest()
        .ifPresent(
            processes ->
                System.out.println(
                    "Logs after the failure of "
                        + context.getUniqueId()
                        + "\n"
                        + processes.logs()));
  }
}
