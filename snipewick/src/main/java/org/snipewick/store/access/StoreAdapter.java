package org.snipewick.store.access;

import java.io.IOException;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.TableRow;

/** Adapter to a platform: provides the calls to its store and decodes its rows. */
public interface StoreAdapter {

  /**
   * Creates the calls to a store; sends nothing yet.
   *
   * @param settings address and limits
   * @return calls, whose futures complete on a thread of the adapter
   */
  StoreCalls connect(StoreSettings settings);

  /**
   * Returns the table in which endpoints register themselves.
   *
   * @return name of the table
   */
  String endpointTable();

  /**
   * Decodes the row of an endpoint.
   *
   * @param row row of the endpoint table
   * @return endpoint
   * @throws IOException if the content cannot be parsed
   * @throws IllegalArgumentException if a field is missing or out of range
   */
  ListedInstance decodeEndpoint(TableRow row) throws IOException;

  /**
   * Returns the table in which entry instances register themselves.
   *
   * @return name of the table
   */
  String entryInstanceTable();

  /**
   * Decodes the row of an entry instance.
   *
   * @param row row of the table of entry instances
   * @return entry instance
   * @throws IOException if the content cannot be parsed
   * @throws IllegalArgumentException if a field is missing or out of range
   */
  ListedInstance decodeEntryInstance(TableRow row) throws IOException;
}
