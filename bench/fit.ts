/** A straight line through measured points, with its error. */

export interface Fit {
    readonly slope: number;
    readonly intercept: number;
    /** Standard error of the slope. */
    readonly error: number;
}

/** Least squares. At least three points. */
export function fitLine(points: readonly (readonly [number, number])[]): Fit {
    const n = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
    const sxx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const sxy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const slope = sxy / sxx;
    const intercept = meanY - slope * meanX;
    const residual = points.reduce((sum, [x, y]) => sum + (y - intercept - slope * x) ** 2, 0);
    return { slope, intercept, error: Math.sqrt(residual / Math.max(1, n - 2) / sxx) };
}
