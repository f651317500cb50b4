import java.io.IOException;
import java.nio.file.Path;

/** Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if it could not run. */
abstract class Case {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  Recorder recorder;

  /** Plays the case; returns its exit status. */
  abstract int play(Deployment deployment) throws Exception;

  final void run(String recordFile) {
    int status = NOT_RUN;
    try {
      recorder = new Recorder(Path.of(recordFile));
      recorder.record(hasTrouble ? "with the disruption" : "without the disruption");
      try (Deployment deployment = new Deployment(recorder)) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> closeAtExit(deployment)));
        status = play(deployment);
      }
      recorder.record("exit status " + status);
    } catch (Exception failure) {
      if (recorder != null) {
        recorder.record("could not run: " + failure);
      }
      System.err.println("could not run: " + failure);
      status = NOT_RUN;
    }
    System.exit(status);
  }

  private static void closeAtExit(Deployment deployment) {
    try {
      deployment.close();
    } catch (IOException failure) {
      System.err.println("could not delete a file: " + failure);
    }
  }

  /** Writes a line to the record and to the standard output. */
  final void report(String line) {
    recorder.record("result   " + line);
    System.out.println(line);
  }
}
