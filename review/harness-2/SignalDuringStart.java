import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Settings files change, and SIGHUP tells so to processes that are starting. */
final class SignalDuringStart extends Case {
  private static final int MACHINES = 7;

  /** Two of seven machines, less than the share of 0.3 that the bench's list of kinds states. */
  private static final int SIGNALLED = 2;

  private static final int CHANGES = 5;
  private static final long AFTER_START_MILLIS = 250;

  /** Delay after which the platform starts a process again that has ended. */
  private static final long RESTART_MILLIS = 500;

  /** Ends within a second of the start of the machine by the platform do not count. */
  private static final long EXCUSED_MILLIS = 1000;

  /** Exit code of a JVM that SIGHUP has ended; a process that ends with another one isn't counted. */
  private static final int ENDED_BY_HANGUP = 129;

  private SignalDuringStart(Path recordFile) throws IOException {
    super(recordFile);
  }

  public static void main(String[] arguments) throws IOException {
    Case.main(new SignalDuringStart(Path.of(arguments[0])));
  }

  @Override
  void play() throws Exception {
    store.put("op", "config", configuration(1, route("/book/", "unsafe", true, ""), tenant("t", "\"k\"")));
    startReplica("replica-1", "zone-a");
    startReplica("replica-2", "zone-b");
    addMachines(MACHINES);
    for (Machine machine : machines.subList(SIGNALLED, MACHINES)) {
      machine.start();
    }
    for (Machine machine : machines.subList(SIGNALLED, MACHINES)) {
      machine.awaitReady();
    }
    note(MACHINES - SIGNALLED + " machines are ready");
    List<Integer> ends = new ArrayList<>();
    for (Machine machine : machines.subList(0, SIGNALLED)) {
      ends.add(playMachine(machine));
    }
    for (Machine machine : machines) {
      machine.awaitReady();
    }
    note("all machines are ready");
    long endedThrice = ends.stream().filter(count -> count >= 3).count();
    if (endedThrice >= 2) {
      broken("Fault: on " + endedThrice + " of " + MACHINES
          + " machines processes ended by themselves three times or more: " + ends);
    }
  }

  /** Starts a machine, changes its settings five times, and returns how often its process ended. */
  private int playMachine(Machine machine) throws Exception {
    long firstNanos = System.nanoTime();
    machine.start();
    note("started: " + machine.name);
    int ends = 0;
    for (int change = 0; change < CHANGES; change++) {
      Thread.sleep(AFTER_START_MILLIS);
      machine.changeSettings("link_mbps: 100" + change + ".0", "link_mbps: 100" + (change + 1) + ".0");
      if (hasTrouble) {
        machine.signal("HUP");
      }
      note("settings of " + machine.name + " changed" + (hasTrouble ? ", SIGHUP sent" : ""));
      Thread.sleep(RESTART_MILLIS);
      if (!machine.process().isAlive()) {
        long sinceStart = (System.nanoTime() - firstNanos) / 1_000_000;
        boolean counts =
            sinceStart > EXCUSED_MILLIS && machine.process().exitValue() == ENDED_BY_HANGUP;
        ends += counts ? 1 : 0;
        note("process of " + machine.name + " has ended by itself with code "
            + machine.process().exitValue() + (counts ? "" : ", not counted"));
        machine.start();
        note("started again: " + machine.name);
      }
    }
    return ends;
  }
}
