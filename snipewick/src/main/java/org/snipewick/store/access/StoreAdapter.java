package org.snipewick.store.access;

import java.io.IOException;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.TableRow;

/** What the adapter to a platform provides. */
public interface StoreAdapter {

  /**
   * Creates the access to a store; nothing is sent yet.
   *
   * @param settings address and limits
   * @return calls, which complete on a thread of their own
   */
  StoreCalls connect(StoreSettings settings);

  /**
   * Returns where endpoints register themselves.
   *
   * @return name of the table
   */
  String endpointTable();

  /**
   * Reads the entry of an endpoint.
   *
   * @param row row of the table of endpoints
   * @return endpoint
   * @throws IOException if the entry cannot be read
   * @throws IllegalArgumentException if a field is missing or out of range
   */
  ListedInstance endpoint(TableRow row) throws IOException;

  /**
   * Returns where entry instances register themselves.
   *
   * @return name of the table
   */
  String instanceTable();

  /**
   * Reads the entry of an entry instance.
   *
   * @param row row of the table of entry instances
   * @return instance
   * @throws IOException if the entry cannot be read
   * @throws IllegalArgumentException if a field is missing or out of range
   */
  ListedInstance instance(TableRow row) throws IOException;
}
