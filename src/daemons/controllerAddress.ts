/** Where the controllers of a fleet are, as every daemon knows it from its settings. */

/** One controller. */
export interface ControllerAddress {
    readonly name: string;
    readonly zone: string;
    readonly address: string;
}

/** Controllers, those of the daemon's own availability zone first. */
export function sortByZone(controllers: readonly ControllerAddress[], zone: string): ControllerAddress[] {
    return [...controllers].sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone));
}
