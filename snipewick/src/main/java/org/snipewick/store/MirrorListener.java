package org.snipewick.store;

import java.util.List;
import org.snipewick.time.Moment;

/** Listener to the rows and changes that a {@link TableMirror} reads; called on one thread only. */
public interface MirrorListener {

  /**
   * Receives all rows of the table, which replace those received before.
   *
   * @param rows each row as of {@code provenAt} or a little later, as several calls may be needed
   * @param provenAt moment at or before which the store was asked for them; the rows are at least
   *     as recent
   */
  void onRows(List<TableRow> rows, Moment provenAt);

  /**
   * Receives changes since the last call. If there are none, the rows received before are still
   * current.
   *
   * @param changes changes in order; may be empty
   * @param provenAt moment at or before which the store was asked for them; the rows are current as
   *     of then
   */
  void onChanges(RowChanges.Delta changes, Moment provenAt);

  /**
   * Called when the table can no longer be read; the rows received before remain the latest known.
   */
  default void onUnavailable() {}

  /**
   * Called before the rows of a new era of the store are received: it was restored from an older
   * copy, and rows that are missing or older than those received before may have been lost.
   */
  default void onNewEra() {}

  /** Called when the table can be read again. */
  default void onAvailableAgain() {}

  /**
   * Returns a listener that passes everything on to others, in their order.
   *
   * @param listeners listeners; each ignores the rows that are not for it
   * @return listener to one mirror
   */
  static MirrorListener ofAll(List<MirrorListener> listeners) {
    List<MirrorListener> all = List.copyOf(listeners);
    return new MirrorListener() {
      @Override
      public void onRows(List<TableRow> rows, Moment provenAt) {
        all.forEach(listener -> listener.onRows(rows, provenAt));
      }

      @Override
      public void onChanges(RowChanges.Delta changes, Moment provenAt) {
        all.forEach(listener -> listener.onChanges(changes, provenAt));
      }

      @Override
      public void onUnavailable() {
        all.forEach(MirrorListener::onUnavailable);
      }

      @Override
      public void onNewEra() {
        all.forEach(MirrorListener::onNewEra);
      }

      @Override
      public void onAvailableAgain() {
        all.forEach(MirrorListener::onAvailableAgain);
      }
    };
  }
}
