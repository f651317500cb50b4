package org.snipewick.store;

import java.util.List;
import org.snipewick.time.Moment;

/** Gets what a {@link TableMirror} learns about its table; always on the same thread. */
public interface MirrorListener {

  /**
   * Takes all rows of the table.
   *
   * @param rows rows as of one moment or a little later each
   * @param provenAt moment at which the first call for them was sent
   */
  void onRows(List<TableRow> rows, Moment provenAt);

  /**
   * Takes changes; may be none, which proves that what was known is still the newest.
   *
   * @param changes what changed
   * @param provenAt moment at which the call for them was sent
   */
  void onChanges(RowChanges.Told changes, Moment provenAt);

  /** Takes that the table cannot be read; what was known holds. */
  default void onLost() {}

  /** Takes that the table can be read again. */
  default void onRegained() {}
}
