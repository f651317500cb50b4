package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.WeightStore;

/** Store of model weights that are kept as objects; reads only the names of the objects. */
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
    public CompletableFuture<StoreResult<List<String>>> send() {
      return calls.objectNames(prefix);
    }
  }

  /**
   * {@inheritDoc} Only the first names that start with the given one are listed, of which the name
   * itself is the first.
   */
  @Override
  public CompletableFuture<Boolean> contains(String name) {
    String objectName = PREFIX + requireNonNull(name, "name");
    return reads
        .get(new NamesQuery(calls, objectName))
        .thenApply(names -> names.contains(objectName));
  }
}
