/**
 * Endpoints that are reserved for a granted item which must run alone, until their running items
 * have ended.
 */
import type { Route } from '@shedline/fleet';
import type { GrantedItem } from '@shedline/fleet-control';
import type { ItemRef } from '@shedline/whole-jobs';

/** A granted item that waits for its endpoint. */
export interface Reservation {
  readonly endpointId: string;
  readonly group: number;
  readonly granted: GrantedItem;
  readonly route: Route;
  readonly sinceMs: number;
}

/** The reservations of one entry, by endpoint. */
export class EndpointReservations {
  private readonly reservations = new Map<string, Reservation>();

  /** Reservations in the order in which they began. */
  get all(): Reservation[] {
    return [...this.reservations.values()];
  }

  get isEmpty(): boolean {
    return this.reservations.size === 0;
  }

  /** Whether an endpoint is reserved. */
  has(endpointId: string): boolean {
    return this.reservations.has(endpointId);
  }

  add(reservation: Reservation): void {
    this.reservations.set(reservation.endpointId, reservation);
  }

  /** Ends the reservation of an endpoint. */
  remove(endpointId: string): void {
    this.reservations.delete(endpointId);
  }

  /** Ends the reservations of the items that match. */
  removeItems(matches: (ref: ItemRef) => boolean): void {
    for (const { endpointId, granted } of this.all) if (matches(granted)) this.remove(endpointId);
  }
}
