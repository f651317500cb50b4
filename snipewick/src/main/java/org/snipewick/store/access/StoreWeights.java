package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.WeightStore;

/** Weights among the objects of the store; only their names are read. */
public final class StoreWeights implements WeightStore {
  private static final String PREFIX = "weights/";

  private final StoreCalls calls;
  private final Reads reads;

  StoreWeights(StoreCalls calls, Reads reads) {
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
  }

  private record Names(StoreCalls calls, String prefix) implements Reads.Question<List<String>> {

    @Override
    public CompletableFuture<Reply<List<String>>> ask() {
      return calls.objectNames(prefix);
    }
  }

  /** {@inheritDoc} The name itself is the first of those that begin with it. */
  @Override
  public CompletableFuture<Boolean> contains(String name) {
    String object = PREFIX + requireNonNull(name, "name");
    return reads.get(new Names(calls, object)).thenApply(names -> names.contains(object));
  }
}
