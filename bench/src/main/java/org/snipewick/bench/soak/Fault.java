package org.snipewick.bench.soak;

import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/** Trouble that comes to a cluster from outside of its processes. */
sealed interface Fault {

  /** Brings the fault about. */
  void begin(Cluster cluster, Links links);

  /** Ends the fault; an instance that has died is started again. */
  void end(Cluster cluster, Links links);

  /** Returns what is struck; one fault at a time strikes it. */
  String target();

  /** An instance dies, and perhaps once more while it starts again. */
  record Kill(String target, boolean again) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).kill();
      if (again) {
        cluster.launch(target);
      }
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).kill();
      cluster.launch(target);
    }
  }

  /** An instance stops as planned and is started again. */
  record PlannedStop(String target) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).terminate();
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).awaitExit();
      cluster.launch(target);
    }
  }

  /** A process, of an instance or an endpoint, stands still. */
  record Pause(String target) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.process(target).pause();
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.process(target).resume();
    }
  }

  /** Two sides lose each other, or one of them loses the other. */
  record LinkCut(String one, String other, Cut cut) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cut.make(links, one, other);
    }

    @Override
    public void end(Cluster cluster, Links links) {
      links.heal(one, other);
    }

    @Override
    public String target() {
      return one + " to " + other;
    }
  }

  /** How a link between two sides is cut. */
  enum Cut {
    /** Bytes are held back on both ways. */
    SILENT {
      @Override
      void make(Links links, String one, String other) {
        links.cut(one, other);
      }
    },
    /** Connections are closed. */
    CLOSING {
      @Override
      void make(Links links, String one, String other) {
        links.sever(one, other);
      }
    },
    /** Bytes are held back on the way to the other side. */
    FORTH {
      @Override
      void make(Links links, String one, String other) {
        links.cutOneWay(one, other);
      }
    },
    /** Bytes are held back on the way from the other side. */
    BACK {
      @Override
      void make(Links links, String one, String other) {
        links.cutOneWay(other, one);
      }
    };

    abstract void make(Links links, String one, String other);
  }

  /** The platform or an endpoint misbehaves. */
  record Misbehaviour(String target, String faults) implements Fault {
    @Override
    public void begin(Cluster cluster, Links links) {
      cluster.faults(target, faults);
    }

    @Override
    public void end(Cluster cluster, Links links) {
      cluster.faults(target, "{}");
    }
  }
}
