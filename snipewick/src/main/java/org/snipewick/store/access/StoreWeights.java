package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.WeightStore;

/** Store of weights that are objects of the store; only their names are read. */
public final class StoreWeights implements WeightStore {
  private static final String PREFIX = "weights/";

  private final StoreCalls calls;
  private final ReadCoalescer reads;

  StoreWeights(StoreCalls calls, ReadCoalescer reads) {
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
  }

  private record NamesQuery(StoreCalls calls, String prefix)
      implements ReadCoalescer.Query<List<String>> {

    @Override
    public CompletableFuture<StoreResponse<List<String>>> send() {
      return calls.objectNames(prefix);
    }
  }

  /** {@inheritDoc} The name itself is the first of the names that start with it. */
  @Override
  public CompletableFuture<Boolean> contains(String name) {
    String object = PREFIX + requireNonNull(name, "name");
    return reads.get(new NamesQuery(calls, object)).thenApply(names -> names.contains(object));
  }
}
