/** Addresses of a fleet's controllers, from the settings of each daemon. */

export interface ControllerAddress {
    readonly name: string;
    readonly zone: string;
    readonly address: string;
}

/** Returns the controllers with those of the given availability zone first. */
export function sortByZone(controllers: readonly ControllerAddress[], zone: string): ControllerAddress[] {
    return [...controllers].sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone));
}
